Feature: A request is known by its content

  Scenario: A return has the fingerprint of the request, whatever the case of its host
    Then "a POST app.example /x hello" and "a POST APP.example /x hello" have one fingerprint

  Scenario Outline: Another <part> makes another request
    Then "a POST app.example /x hello" and "<other>" have two fingerprints

    Examples:
      | part    | other                        |
      | account | b POST app.example /x hello  |
      | account | - POST app.example /x hello  |
      | method  | a PUT app.example /x hello   |
      | host    | a POST web.example /x hello  |
      | path    | a POST app.example /xh ello  |
      | body    | a POST app.example /x hello2 |

  Scenario: Random requests share a fingerprint only with themselves
    Then among random requests only equal ones have one fingerprint
