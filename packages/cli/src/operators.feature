Feature: Operators drive the system by desired state alone

  Scenario: Declaring, comparing, conflicts, deleting and the audit trail
    Given two boxes and an engine as processes
    When an operator applies a file with a model
    Then the tool exits with 0 and the model is in force on both boxes
    When the operator compares the same file
    Then the tool exits with 0 and says nothing of "model/notices"
    When the operator compares the file with another version of the model
    Then the tool exits with 6 and says "version"
    When the operator applies that file based on a revision before the model was declared
    Then the tool exits with 3 and says "conflict on model/notices"
    When the operator applies a file whose model names an unknown pool and a size of 0
    Then the tool exits with 2 and says "sizeMb"
    When the operator deletes the pool
    Then the tool exits with 2 and says "there is no pool"
    When the operator deletes the model
    Then the tool exits with 0 and says "accepted"
    When the operator asks for the audit trail
    Then the tool exits with 0 and says "delete"
    When the operator lists the boxes
    Then the tool exits with 0 and says "alive"
    When somebody with a wrong token asks for the resources
    Then the tool exits with 4 and says "token"

  Scenario: Settings are checked without a box
    When the operator checks a settings file with an unknown key
    Then the tool exits with 2 and says "lease.colour"
