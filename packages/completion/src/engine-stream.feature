Feature: Engine streams deliver each token once, in order and only to their own attempt

  Scenario: Tokens do not depend on the chunking of the stream
    Then for any chunking and any resume position, each token is delivered once and in order

  Scenario Outline: Incomplete and malformed streams are distinguished from complete ones
    When a stream to attempt "r~1" is read that <fault>
    Then the result is "<end>" after <tokens> tokens

    Examples:
      | fault                             | end      | tokens |
      | is whole                          | complete | 3      |
      | ends without its marker           | cut      | 2      |
      | breaks off                        | cut      | 2      |
      | breaks off after its last token   | complete | 3      |
      | leaves out a token                | cut      | 1      |
      | belongs to attempt "r~0"          | garbled  | 0      |
      | holds an event that is no token   | garbled  | 1      |
      | falls silent for 3 s              | cut      | 1      |
      | holds an event without end        | garbled  | 1      |
      | holds a comment without end       | garbled  | 1      |
      | goes on without end after its last token | complete | 3 |

  # Guards against a connection that stays open, and is read no more, because the engine sends bytes after the last token.
  Scenario: Bytes without end after the last token end the connection
    When a stream to attempt "r~1" is read that goes on without end after its last token
    Then its body is closed after at most 200000 bytes

  Scenario: A long stream retains no memory for delivered tokens
    When a stream of 50000 tokens is read up to its last token
    Then it retains less than 5 MB
