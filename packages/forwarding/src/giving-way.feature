Feature: Who sends without end gives way before sound responses of others

  # Guards against sound responses that are ended because another target sends without end.
  Scenario Outline: A sound <kind> is passed on whole while another target sends one event without end
    Given a bound of 2000000 held bytes for the attempts
    When 10 attempts are made at a target that sends one event without end
    And an attempt on a <route> route gets a <kind> of 600000 bytes in steps over 400 ms
    Then the <kind> reached its caller whole
    And all attempts at the target without end are lost
    And nothing is held in the end

    Examples:
      | kind   | route     |
      | event  | streaming |
      | answer | plain     |
