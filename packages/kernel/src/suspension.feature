Feature: Time for which a machine was suspended counts where a right ends by it

  Scenario: A suspension shows as a jump of the wall clock ahead of the steady one
    Given a steady clock and a wall clock that agree
    When 1000 ms go by on both
    And the machine is suspended for 5000 ms
    And 1000 ms go by on both
    Then 2000 ms have gone by, and 7000 ms where suspensions count

  Scenario: A wall clock that is set back gives no right more time
    Given a steady clock and a wall clock that agree
    When the wall clock is set back by 3000 ms
    And 1000 ms go by on both
    Then 1000 ms have gone by, and 1000 ms where suspensions count

  Scenario: What a wall clock is corrected by little by little counts for nothing
    Given a steady clock and a wall clock that agree
    When the wall clock gains 5 ms each 1000 ms, 20 times
    Then 20000 ms have gone by, and 20000 ms where suspensions count
