Feature: A box knows up to when the lease holder has planned loads for its demand

  Background:
    Given a box that sends its demand to the lease holder at 0, 400 and 800 ms

  # Guards against taking a report that the box's demand has not reached for a decision against a load.
  Scenario: A report counts for the demand of the heartbeat that it names
    When a report at 900 ms says that heartbeat 2 has been planned
    Then loads are planned for demand up to 400 ms
    When a report at 1000 ms says that heartbeat 0 has been planned
    Then loads are planned for demand up to 400 ms

  Scenario: A report of an earlier version counts for all demand before it
    When a report at 900 ms does not say which heartbeat has been planned
    Then loads are planned for demand up to 900 ms
