Feature: Operators manage the deployment through its desired state

  Scenario: Apply, diff, revision conflicts, delete and the audit trail
    Given two boxes and an engine as processes
    When an operator applies a file with a model
    Then the command exits with 0 and the model is in force on both boxes
    When the operator compares the same file with the desired state
    Then the command exits with 0 and its output does not contain "model/notices"
    When the operator compares a file that contains another version of the model
    Then the command exits with 6 and its output contains "version"
    When the operator applies that file based on a revision before the model was created
    Then the command exits with 3 and its output contains "conflict on model/notices"
    When the operator applies a file whose model refers to an unknown pool and has a size of 0
    Then the command exits with 2 and its output contains "sizeMb"
    When the operator deletes the pool
    Then the command exits with 2 and its output contains "there is no pool"
    When the operator deletes the model
    Then the command exits with 0 and its output contains "accepted"
    When the operator requests the audit trail
    Then the command exits with 0 and its output contains "delete"
    When the operator lists the boxes
    Then the command exits with 0 and its output contains "alive"
    When a client with an invalid token requests the resources
    Then the command exits with 4 and its output contains "token"

  Scenario: Settings are validated without a box
    When the operator checks a settings file with an unknown key
    Then the command exits with 2 and its output contains "lease.colour"
