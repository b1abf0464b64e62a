Feature: A box that stops leaves no other box waiting

  # Guards against requests that wait for the time-out of a call to a box that is gone.
  Scenario: Calls and relayed exchanges that are open when a box ends fail at once
    Given a box process that answers no call for a place and keeps a relayed exchange open
    When the process closes its server and ends
    Then the call for a place has failed within 1000 ms, and may have arrived
    And the relayed exchange has been closed within 1000 ms
