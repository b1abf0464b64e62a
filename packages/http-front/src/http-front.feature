Feature: Invalid requests get an error response and do not affect other callers

  Background:
    Given an HTTP front with limits of 100 bytes for bodies, 1000 bytes for heads and 5 s for receiving

  Scenario Outline: Input beyond the limits gets a typed refusal
    When a caller sends <input>
    Then the response is <status> with outcome "not_run" and code "<code>"
    And the front still responds to other callers

    Examples:
      | input                      | status | code           |
      | "a body of 101 bytes"      | 413    | body_too_large |
      | "a head of 2000 bytes"     | 431    | bad_request    |
      | "no HTTP"                  | 400    | bad_request    |
      | "half a body for 5 s"      | 400    | bad_request    |
      | "a blank in a header name" | 400    | bad_request    |
      | "a lone CR before a line"  | 400    | bad_request    |

  # Guards against one request's exception ending the box with all of its other requests.
  Scenario: A request whose handling fails costs its caller only
    When a caller sends a request whose handler throws
    Then its response has status 500, and the exception is reported
    And the front still responds to other callers

  Scenario: A response that was cut does not look complete
    When the response to a caller is cut after its first part
    Then the caller's connection is closed without the final chunk of the response

  Scenario: A request is not handled if its caller disconnects before it was read
    When a caller sends a request and disconnects before the front reads it
    Then the front has handled no request
    And the front still responds to other callers
