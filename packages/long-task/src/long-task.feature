Feature: Tasks that block the event loop are logged with what they did

  Guards against blocked event loops of which nobody can tell what blocked them.

  Scenario: A task of 50 ms is logged and counted
    When a task "plan moves" takes 50 ms
    Then "plan moves" with 50 ms is logged
    And 1 long task "plan moves" of 50 ms in all is counted

  Scenario: A shorter task is not logged
    When a task "plan moves" takes 49 ms
    Then no task is logged
