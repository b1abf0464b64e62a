Feature: Invalid requests are rejected with a specific error and do not run

  Scenario Outline: <input>
    Given an idle deployment
    When "dispatch" sends <input>
    Then it is rejected as not run with <status> "<code>"

    Examples:
      | input                                       | status | code                 |
      | "a body that is no JSON"                    | 400    | bad_request          |
      | "no model"                                  | 400    | bad_request          |
      | "max_tokens of 0"                           | 400    | bad_request          |
      | "a model that does not exist"               | 404    | unknown_model        |
      | "the model of another account"              | 404    | unknown_model        |
      | "a deadline that is no number"              | 400    | bad_request          |
      | "a priority of 10"                          | 400    | bad_request          |
      | "repeatable as maybe"                       | 400    | bad_request          |
      | "a path that does not exist"                | 404    | unknown_path         |
      | "a service that does not exist"             | 404    | unknown_service      |
      | "no token"                                  | 401    | unauthenticated      |
      | "a token of nobody"                         | 401    | unauthenticated      |
      | "a not repeatable request without a ticket" | 428    | ticket_required      |
      | "a forged ticket of this box"               | 400    | ticket_invalid       |
      | "a deadline that nothing can make"          | 503    | deadline_unreachable |
