Feature: Boxes know which boxes are there

  Scenario: A box that only others can hear is not suspected
    Given a member that was heard at 0 ms with heartbeat 1
    When another box passes on its heartbeat 2 at 900 ms
    Then it is alive at 1800 ms and not at 1901 ms

  Scenario: A restart at the same address replaces the earlier start
    Given a member that was heard at 0 ms with heartbeat 1
    When a later start of the same box is heard at 100 ms
    And another box still passes on the earlier start
    Then only the later start is known

  Scenario: A box that was cut off takes the others back as soon as it hears them
    Given a member that was heard at 0 ms with heartbeat 1
    When it has been silent so long that it is forgotten
    And another box still passes on its heartbeat 1
    Then it is not known
    When it is heard again with heartbeat 50
    Then it is alive

  Scenario Outline: A box that is cut off refuses, but not in an outage that most boxes confirm
    Then with the log silent for <silent> ms, <heard> of <known> boxes heard, a box is "<verdict>"

    Examples:
      | silent | heard | known | verdict |
      | 900    | 1     | 8     | serving |
      | 1100   | 1     | 8     | cut off |
      | 1100   | 4     | 8     | cut off |
      | 1100   | 5     | 8     | serving |
      | 1100   | 1     | 1     | serving |
