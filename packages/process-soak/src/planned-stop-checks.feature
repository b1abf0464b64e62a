Feature: The checks of planned stops report lost requests, and pass those that something else explains

  Background:
    Given a grace period of 4000 ms, and a SIGTERM to "b1" at 10000 ms after which it ends at 13900 ms

  Scenario Outline: A request that ran and whose connection ended without an answer is lost <when>
    Given a request "r1" to "b1", sent at <sent> ms and whole at <sent> ms, whose connection ended at <ended> ms
    And it started at "p1"
    Then the answers around stops are <judged>

    Examples:
      | when                                 | sent  | ended | judged                |
      | if it was sent before the stop       | 9800  | 10400 | reported for "r1"     |
      | if it was sent late                  | 13500 | 13900 | reported for "r1"     |
      | after the grace period               | 14800 | 14900 | reported for "r1"     |
      | not if it had ended before the stop  | 9000  | 9900  | not reported          |
      | not if it was sent long after it     | 15100 | 15200 | not reported          |
      | not if its time limit was reached    | 12000 | 12800 | not reported          |

  Scenario Outline: A request that did not run is lost if the box had time to read it
    Given a request "r1" to "b1", sent at 10100 ms and whole at 10500 ms, whose connection ended at <ended> ms
    Then the answers around stops are <judged>

    Examples:
      | ended | judged            |
      | 10701 | reported for "r1" |
      | 10700 | not reported      |

  Scenario: A request whose body was not sent whole is not judged
    Given a request "r1" to "b1", sent at 10100 ms and not whole, whose connection ended at 10800 ms
    Then the answers around stops are not reported

  Scenario Outline: A request is not judged beside a disruption of <subject> that explains its end
    Given a request "r1" to "b1", sent at 12000 ms and whole at 12000 ms, whose connection ended at 12500 ms
    And it started at "p1"
    And "<subject>" was disrupted from <from> ms to <until> ms
    Then the answers around stops are <judged>

    Examples:
      | subject | from  | until | judged            |
      | b1      | 8000  | 9000  | not reported      |
      | b1      | 8000  | 8999  | reported for "r1" |
      | b1      | 12500 | 12600 | not reported      |
      | b2      | 11900 | 12600 | reported for "r1" |
      | p1      | 12400 | 12600 | not reported      |
      | p1      | 11000 | 11900 | reported for "r1" |
      | p2      | 11900 | 12600 | reported for "r1" |

  Scenario Outline: A request that comes late and is cut at the end was taken wrongly
    Given a request "r1" to "b1", sent at <sent> ms, answered with <status> at <ended> ms
    Then the requests that a stopping box takes are <judged>

    Examples:
      | sent  | status | ended | judged            |
      | 13000 | 502    | 13300 | reported for "r1" |
      | 11501 | 502    | 13300 | reported for "r1" |
      | 11500 | 502    | 13510 | not reported      |
      | 13000 | 502    | 13299 | not reported      |
      | 13000 | 503    | 13510 | not reported      |

  Scenario: A process that ends after the grace period is reported, its pauses aside
    Then the ends of processes are not reported
    Given a SIGTERM to "b2" at 10000 ms after which it ends at 14001 ms
    Then the ends of processes are reported for "b2"

  Scenario: Stops, kills and pauses are read from the history of a process
    Given a process that got SIGTERM at 100 ms and 200 ms, was paused from 300 ms to 800 ms and ended at 900 ms
    And whose next life got SIGKILL at 2000 ms and ended at 2001 ms
    Then it had one planned stop at 100 ms with a pause of 500 ms
    And it was disrupted from 300 ms to 800 ms and from 2000 ms to 2000 ms
