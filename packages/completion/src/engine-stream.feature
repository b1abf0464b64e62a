Feature: A stream's tokens come whole, in order and only to their own request

  Scenario: However the bytes are cut up, the tokens are the same
    Then for any chunking of a stream and any place of resumption, each token comes once and in order

  Scenario Outline: What is no whole answer is told apart
    When a stream to attempt "r~1" is read that <fault>
    Then its end is "<end>" after <tokens> tokens

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

  Scenario: A long stream holds nothing for the tokens that have passed
    When a stream of 50000 tokens has been read up to its last token
    Then less than 5 MB are held for it
