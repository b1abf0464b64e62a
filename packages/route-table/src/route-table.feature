Feature: A request is matched to a route by its host and the longest path prefix

  Scenario Outline: The longest matching prefix of the host is selected
    Given routes "a.example /", "a.example /x/" and "b.example /x/"
    Then a request for "<host>" and "<path>" matches route "<route>"

    Examples:
      | host         | path       | route         |
      | a.example    | /x/1?q=/y/ | a.example /x/ |
      | A.example:80 | /x/1       | a.example /x/ |
      | a.example    | /xy        | a.example /   |
      | b.example    | /y         | none          |
      | b.example    | /y?p=/x/   | none          |
      | c.example    | /          | none          |

  Scenario: A weighted split selects the same service for the same request
    Given a route with weights 90 and 10
    Then of 1000 requests between 850 and 950 select the first service, each consistently
