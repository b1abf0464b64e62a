Feature: Messages between boxes are compact on the wire

  Scenario: Decoding returns the encoded message
    Then 300 random messages are decoded as they were encoded

  Scenario: A heartbeat with many engines is compressed to a fifth of its JSON text
    Given a heartbeat with 60 engines with 3 models each
    Then it is encoded in less than 0.2 of its JSON text

  Scenario: Short messages are not compressed
    Then a message of 100 characters is encoded with 1 byte more than its JSON text

  Scenario: Malformed bytes are rejected
    Then malformed bytes are not decoded
