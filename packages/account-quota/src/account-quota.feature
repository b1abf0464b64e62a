Feature: Limits of client accounts across all boxes

  Scenario: Retry times of refused requests are spread out
    Given an allocator with a rate of 1000 units per second and a burst of 1000
    When 10 requests of 500 units arrive at the same time
    Then 2 are granted
    And the retry times of the refused requests are 500 ms apart, the last after 3501 ms

  Scenario: A request larger than the available units is granted and leaves a debt
    Given an allocator with a rate of 1000 units per second and a burst of 1000
    When a request of 3000 units arrives
    Then the request is granted
    When 1900 ms pass and a request of 10 units arrives
    Then the request is refused with a wait of 101 ms
    When 200 ms pass and a request of 10 units arrives
    Then the request is granted

  Scenario: An idle allocator does not resume with a full burst
    Given an allocator with a rate of 1000 units per second, a burst of 1000 and an initial level of 200
    When 5 requests of 100 units arrive at the same time
    Then 2 are granted
    When 5000 ms pass and 5 requests of 100 units arrive at the same time
    Then 2 are granted

  Scenario: A limit from an outdated configuration version is ignored
    Given an allocator with a rate of 1000 units per second and a burst of 1000
    When version 2 lowers the limit to 100 units per second and a burst of 100
    And 5 requests of 100 units arrive at the same time with version 1
    Then 1 is granted

  Scenario: A box that reaches no allocator decides alone, within its own share
    Given a box whose allocators do not respond, with a tenth of all load as its own share
    When an account limited to 10000 units per second sends 20 requests of 100 units to the box
    Then the box admits between 1 and 5 requests
    And each admission decision took at most 360 ms

  Scenario: An isolated box admits requests within its own share and declines to allocate for others
    Given a box that is isolated from the majority
    When an account limited to 10000 units per second sends 20 requests of 100 units to the box
    Then the box admits between 1 and 5 requests
    And the box declines to allocate for others

  # Guards against a grant for all boxes by one that has lost the others since it was last asked whether it may.
  Scenario: A box that is isolated while it waits for another allocator grants only from its own share
    Given a box that is isolated after 50 ms, while its preferred allocator does not respond
    When an account limited to 10000 units per second sends 20 requests of 100 units to the box at the same time
    Then the box admits between 1 and 5 requests

  Scenario: A box that is isolated while it forwards a request declines to allocate
    Given a box that is isolated after 50 ms, while its preferred allocator does not respond
    Then the box declines to allocate for others

  Scenario Outline: The share of <silent> silent boxes in 100 is not allocated to the others
    Given an allocating box while <silent> of 100 boxes are silent
    When for 10 s an account limited to 10000 units per second sends a request of 100 units every 5 ms
    Then the box admits between <least> and <most> requests

    Examples:
      | silent | least | most |
      | 0      | 1000  | 1110 |
      | 30     | 700   | 780  |
      | 90     | 500   | 560  |

  Scenario: Grants from an exhausted limit are summarized every second
    Given an allocating box while 0 of 100 boxes are silent
    When for 3 s an account limited to 10000 units per second sends a request of 100 units every 5 ms
    Then the grant summaries add up to the admitted units, except for the last second

  Scenario: No summary is reported for a limit that is not exhausted
    Given an allocating box while 0 of 100 boxes are silent
    When for 3 s an account limited to 100000 units per second sends a request of 100 units every 5 ms
    Then no grant summary is reported

  Scenario: Units of requests that were not executed are refunded
    Given a box that is its own allocator
    When an account limited to 1000 units per second exhausts its units at the box
    And 300 units are refunded
    Then a request of 300 units is admitted

  Scenario Outline: The charge of a request with tokens <terms> under a limit of <unit>
    Then a request with prompt and output tokens "<terms>" is charged <units> units under a limit of "<unit>"

    Examples:
      | terms        | unit     | units |
      | 1460 and 80  | tokens   | 1540  |
      | nothing told | tokens   | 200   |
      | 1460 and 80  | requests | 1     |
