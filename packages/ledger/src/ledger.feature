Feature: Accelerator memory is reserved before it is used

  Scenario: A pending load order reserves its memory
    Given an engine of 100 MB that reports 40 MB in use
    When a load of 30 MB has been ordered and is not in the report yet
    Then 30 MB are free

  Scenario: An unload releases memory only once the report shows it
    Given an engine of 100 MB that reports 40 MB in use
    When an unload of its resident has been ordered
    Then 60 MB are free

  Scenario: A role change that reduces the capacity counts as soon as it is ordered
    Given an engine of 100 MB that reports 40 MB in use
    When a change to the role "batch" has been ordered, which reserves 20 MB
    Then 40 MB are free

  Scenario: An order that would overcommit memory violates an invariant
    Given an engine of 100 MB that reports 40 MB in use
    Then ordering a load of 61 MB violates the invariant "memory-never-overcommitted"
