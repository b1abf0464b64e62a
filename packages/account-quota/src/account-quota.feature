Feature: The limit of a client account over all boxes

  Scenario: What is refused is told to come back one after the other
    Given an allocator of 1000 units a second and 1000 at once
    When 10 requests of 500 units come at once
    Then 2 are granted
    And those refused are told to come back 500 ms apart, the last after 3501 ms

  Scenario: A request that is larger than what is left goes, and the rest is owed
    Given an allocator of 1000 units a second and 1000 at once
    When a request of 3000 units comes
    Then it is granted
    When 1900 ms go by and a request of 10 units comes
    Then it is refused for 101 ms
    When 200 ms go by and a request of 10 units comes
    Then it is granted

  Scenario: An allocator that nobody asked for a while does not begin with a full burst
    Given an allocator of 1000 units a second and 1000 at once, of which 200 at first
    When 5 requests of 100 units come at once
    Then 2 are granted
    When 5000 ms go by and 5 requests of 100 units come at once
    Then 2 are granted

  Scenario: A limit that is older than the known one is not taken
    Given an allocator of 1000 units a second and 1000 at once
    When version 2 lowers the limit to 100 units a second and 100 at once
    And 5 requests of 100 units come at once under version 1
    Then 1 is granted

  Scenario: A box without an answer from any allocator decides alone, by its part
    Given a box whose allocators are silent, with a tenth of what all boxes carry
    When an account of 10000 units a second sends 20 requests of 100 units there
    Then it lets through between 1 and 5
    And each decision took at most 360 ms

  Scenario: A box that is cut off from most others serves by its own part, and allocates for nobody
    Given a box that is cut off from most others
    When an account of 10000 units a second sends 20 requests of 100 units there
    Then it lets through between 1 and 5
    And it declines to allocate for others

  Scenario Outline: What is the part of <silent> silent boxes in 100 is not handed out to the others
    Given a box that allocates while <silent> in 100 of all boxes are silent
    When 10 s go by while an account of 10000 units a second sends 100 units each 5 ms
    Then it lets through between <least> and <most>

    Examples:
      | silent | least | most |
      | 0      | 1000  | 1110 |
      | 30     | 700   | 780  |
      | 90     | 500   | 560  |

  Scenario: What is handed out of a limit that runs short is told each second
    Given a box that allocates while 0 in 100 of all boxes are silent
    When 3 s go by while an account of 10000 units a second sends 100 units each 5 ms
    Then what it tells of the limit adds up to what it lets through, but for the last second

  Scenario: Nothing is told of a limit that does not run short
    Given a box that allocates while 0 in 100 of all boxes are silent
    When 3 s go by while an account of 100000 units a second sends 100 units each 5 ms
    Then it tells nothing of that limit

  Scenario: What did not run is given back
    Given a box that allocates for itself
    When an account of 1000 units a second uses up what it has there
    And 300 units are given back
    Then a request of 300 units is let through

  Scenario Outline: A request with <terms> counts <units>
    Then a request with "<terms>" counts <units> under a limit of "<unit>"

    Examples:
      | terms        | unit     | units |
      | 1460 and 80  | tokens   | 1540  |
      | nothing told | tokens   | 200   |
      | 1460 and 80  | requests | 1     |
