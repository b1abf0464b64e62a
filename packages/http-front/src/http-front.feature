Feature: Whatever a caller sends, the answer is clear and the box goes on

  Background:
    Given a front that takes bodies of 100 bytes, heads of 1000 bytes, within 5 s

  Scenario Outline: Input beyond the limits gets a typed refusal
    When a caller sends <input>
    Then the answer is <status> with outcome "not_run" and code "<code>"
    And the front still answers others

    Examples:
      | input                      | status | code           |
      | "a body of 101 bytes"      | 413    | body_too_large |
      | "a head of 2000 bytes"     | 431    | bad_request    |
      | "no HTTP"                  | 400    | bad_request    |
      | "half a body for 5 s"      | 400    | bad_request    |

  Scenario: A cut answer never looks like an end
    When the answer to a caller is cut after its first part
    Then the caller's connection breaks before the end marker of the answer

  Scenario: A request whose caller left before it was read is not handled
    When a caller sends a request and leaves before the front can read it
    Then the front has handled nothing
    And the front still answers others
