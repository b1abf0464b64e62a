Feature: Reports that boxes pass on to each other

  Scenario: A report that is passed on comes out as it was read, whatever changed and whoever restarted
    Then for any changes of an engine, lost answers and restarts of the reader, the asker gets the report or none

  Scenario: The age of a report that is passed on is never understated
    When a report that was read 700 ms ago is asked for at 5000 ms and the answer takes 400 ms
    Then it counts as asked for at 4300 ms

  Scenario: What is held already is not sent again
    When a box asks twice and only the load of the engine has changed
    Then the second answer carries no placement
