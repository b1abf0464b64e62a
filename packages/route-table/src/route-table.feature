Feature: The route of a request is found by its host and the longest path prefix

  Scenario Outline: The longest prefix of the host wins
    Given routes "a.example /", "a.example /x/" and "b.example /x/"
    Then a request for "<host>" and "<path>" goes to route "<route>"

    Examples:
      | host         | path       | route         |
      | a.example    | /x/1?q=/y/ | a.example /x/ |
      | A.example:80 | /x/1       | a.example /x/ |
      | a.example    | /xy        | a.example /   |
      | b.example    | /y         | none          |
      | b.example    | /y?p=/x/   | none          |
      | c.example    | /          | none          |

  Scenario: A weighted split sends the same request to the same service on every box
    Given a route that splits 90 to 10
    Then of 1000 requests between 850 and 950 go to the first service, each always to the same
