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

  Scenario Outline: A message that is no object is rejected: <text>
    Then the text "<text>" is not decoded as a message

    Examples:
      | text |
      | null |
      | 5    |
      | true |

  # Guards against values that can be decoded, but not encoded again for other boxes without exhausting the stack.
  Scenario Outline: A message of <levels> nested <kind> is <verdict>
    Then a message of <levels> nested <kind> is <verdict>

    Examples:
      | levels | kind    | verdict  |
      | 64     | arrays  | decoded  |
      | 64     | objects | decoded  |
      | 65     | arrays  | rejected |
      | 65     | objects | rejected |
      | 100000 | arrays  | rejected |

  Scenario: Texts in messages may contain any number of brackets
    Then brackets, quotes and backslashes in a text count as no nesting
