Feature: Accelerator memory is counted before it is used

  Scenario: An order that may still take effect holds its memory
    Given an engine of 100 MB that reports 40 MB in use
    When a load of 30 MB has been ordered and is not in the report yet
    Then 30 MB are free

  Scenario: An unload gives memory back only when the report shows it
    Given an engine of 100 MB that reports 40 MB in use
    When its resident has been ordered to go
    Then 60 MB are free

  Scenario: A role that takes memory counts as soon as it is ordered
    Given an engine of 100 MB that reports 40 MB in use
    When the role "batch" has been ordered, which takes 20 MB
    Then 40 MB are free

  Scenario: An order that would overcommit memory breaks an invariant
    Given an engine of 100 MB that reports 40 MB in use
    Then giving an order to load 61 MB stops with the invariant "memory-never-overcommitted"
