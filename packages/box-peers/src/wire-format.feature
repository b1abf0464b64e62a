Feature: Messages between boxes are short on the wire

  Scenario: What is written is read again, whatever it holds
    Then 300 random messages are read as they were written

  Scenario: A heartbeat that tells of many engines is written in a fifth of its text
    Given a heartbeat that tells of 60 engines with 3 models each
    Then it is written in less than 0.2 of its text

  Scenario: Short messages are left as they are
    Then a message of 100 characters is written with 1 byte more than its text

  Scenario: Bytes of another form are refused
    Then bytes of another form are not read
