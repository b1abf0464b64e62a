Feature: An event stream is cut into whole events wherever its bytes are cut

  Scenario: Any cut of the bytes gives the same events
    Given a stream of 5 events with ids and a comment line
    Then for any cut of its bytes the events are the same and the bytes are all there

  Scenario: An event that is not whole is held back
    Given a stream of 2 events with ids and a comment line
    When its last 3 bytes are missing
    Then 1 event is whole and the rest is held
