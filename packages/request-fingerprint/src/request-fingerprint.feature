Feature: Fingerprints identify requests by their content

  Scenario: A retry has the fingerprint of the request, regardless of the case of its host
    Then "a POST app.example /x hello" and "a POST APP.example /x hello" have the same fingerprint

  Scenario Outline: A different <part> results in a different fingerprint
    Then "a POST app.example /x hello" and "<other>" have different fingerprints

    Examples:
      | part    | other                        |
      | account | b POST app.example /x hello  |
      | account | - POST app.example /x hello  |
      | method  | a PUT app.example /x hello   |
      | host    | a POST web.example /x hello  |
      | path    | a POST app.example /xh ello  |
      | body    | a POST app.example /x hello2 |

  Scenario: Different random requests have different fingerprints
    Then among random requests only equal ones have the same fingerprint
