Feature: One target's limit over many boxes, under the loads that ways to keep it were compared by

  Scenario: Permits handed out by one box keep the limit at each size, and use most of it
    When every load of permits is played 2 times with "handed out by one box"
    Then no window brings the target more than its limit allows
    And the target gets at least 65 in 100 of its limit

  Scenario: Boxes that keep the limit each for itself exceed it
    When every load of permits is played 1 time with "each box for itself"
    Then some window brings the target more than its limit allows

  Scenario: Equal parts exceed the limit where boxes are many
    When every load of permits is played 1 time with "equal parts"
    Then some window brings the target more than its limit allows
