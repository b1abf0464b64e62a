Feature: Relaying of engine reports between boxes

  Scenario: A relayed report arrives as it was read, for any changes and restarts
    Then for any changes of an engine, lost replies and restarts of the reader, the requester receives the report or none

  Scenario: The age of a relayed report is never understated
    When a report that was read 700 ms ago is requested at 5000 ms and the reply takes 400 ms
    Then its request time is 4300 ms

  Scenario: A placement that the requester has is not sent again
    When a box requests reports twice and only the load of the engine has changed
    Then the second reply contains no placement
