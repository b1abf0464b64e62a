Feature: Boxes track the membership of the deployment

  Scenario: A box whose heartbeats arrive only through others is not suspected
    Given a member seen at 0 ms with heartbeat 1
    When another box relays its heartbeat 2 at 900 ms
    Then it is alive at 1800 ms and not at 1901 ms

  Scenario: A restart at the same address replaces the earlier incarnation
    Given a member seen at 0 ms with heartbeat 1
    When a later incarnation of the same box sends a heartbeat at 100 ms
    And another box still relays the earlier incarnation
    Then only the later incarnation is known

  Scenario: A box that was isolated adds the others again as soon as they send heartbeats
    Given a member seen at 0 ms with heartbeat 1
    When it has been silent long enough to be removed
    And another box still relays its heartbeat 1
    Then it is not known
    When it sends heartbeat 50
    Then it is alive

  Scenario Outline: An isolated box rejects requests, except in an outage that most boxes confirm
    Then with the log silent for <silent> ms and <heard> of <known> boxes alive, a box is "<verdict>"

    Examples:
      | silent | heard | known | verdict |
      | 900    | 1     | 8     | serving |
      | 1100   | 1     | 8     | cut off |
      | 1100   | 4     | 8     | cut off |
      | 1100   | 5     | 8     | serving |
      | 1100   | 1     | 1     | serving |
