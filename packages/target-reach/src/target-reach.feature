Feature: A box tells the loss of all its links to targets from targets that are down

  Background:
    Given 4 boxes and 12 targets of 3 services in 3 failure domains
    And every box connects to a target every 20 ms

  Scenario Outline: A box whose links to all targets are lost takes itself for cut off within about a second
    When new connections of box 1 are <way>
    And <within> ms of traffic pass
    Then only box 1 is cut off
    And box 1 has logged which targets failed, which were checked and that boxes "2, 3, 4" relay
    When the links of box 1 work again
    And 600 ms of traffic pass
    Then no box is cut off
    And box 1 has logged that it reaches targets again

    Examples:
      | way     | within |
      | refused | 400    |
      | hanging | 1150   |

  Scenario: Callers wait for the verdict while a suspicion is checked, for a bounded time
    When new connections of box 1 are hanging
    And 430 ms of traffic pass
    Then a caller of box 1 learns within 700 ms that it is cut off

  Scenario Outline: A box whose requests all need one target learns that it is cut off
    Given the traffic of box 1 needs target 3 only, and comes every 200 ms
    When new connections of box 1 are <way>
    And <within> ms of traffic pass
    Then only box 1 is cut off

    Examples:
      | way     | within |
      | refused | 700    |
      | hanging | 1500   |

  Scenario: A target that is down does not cut any box off, even if all of its requests need that target
    Given the traffic of box 1 needs target 3 only, and comes every 200 ms
    When target 3 is down
    And 3000 ms of traffic pass
    Then no box has ever been cut off

  Scenario: A target that is down does not cut any box off
    When target 3 is down
    And 3000 ms of traffic pass
    Then no box has ever been cut off

  Scenario: A service that is down does not cut any box off
    When all targets of service 2 are down
    And 3000 ms of traffic pass
    Then no box has ever been cut off
    And suspicions were dropped

  Scenario: A target that is silent for a second does not cut any box off
    When target 3 is silent
    And 1000 ms of traffic pass
    And target 3 answers again
    And 1000 ms of traffic pass
    Then no box has ever been cut off

  Scenario Outline: Targets that no box reaches cut no box off, and are used when they return
    When all targets are <state>
    And 3000 ms of traffic pass
    Then no box is cut off
    And no box says that it relays
    When all targets work again
    And 1000 ms of traffic pass
    Then every box says that it relays

    Examples:
      | state  |
      | down   |
      | silent |

  Scenario: Targets that all end at once cut no box off, even those without traffic
    Given only box 1 has traffic
    When all targets are down
    And 3000 ms of traffic pass
    Then no box has ever been cut off

  Scenario: A box without another one is not cut off
    Given boxes 2, 3 and 4 have stopped
    When new connections of box 1 are refused
    And 3000 ms of traffic pass
    Then no box has ever been cut off

  Scenario: A box that starts while it is cut off learns it without traffic
    Given box 1 starts again with refused connections and without traffic
    When 400 ms of traffic pass
    Then only box 1 is cut off

  Scenario: A box whose last relaying box loses its links as well is no longer cut off
    When new connections of box 1 are refused
    And 400 ms of traffic pass
    And new connections of box 2 are refused
    And new connections of box 3 are refused
    And 400 ms of traffic pass
    Then boxes 1, 2 and 3 are cut off
    When new connections of box 4 are refused
    And 800 ms of traffic pass
    Then no box is cut off

  Scenario: Links that work for moments only do not end the cut each time
    When the links of box 1 work for 300 ms and are refused for 700 ms, 12 times
    Then box 1 has reported at most 6 cuts

  Scenario: Several cuts of a day are each noticed and each ended
    When the links of box 1 are refused for 3000 ms and work for 12000 ms, 4 times
    Then box 1 has reported 4 cuts
    And no box is cut off

  Scenario: A cut is counted from its own first failure, also without traffic since the previous one
    Given box 1 has no traffic
    When new connections of box 1 are refused
    And box 1 fails to connect to "t1 t2"
    And 400 ms of traffic pass
    And the links of box 1 work again
    And 15000 ms of traffic pass
    And new connections of box 1 are refused
    And box 1 fails to connect to "t3 t4"
    And 400 ms of traffic pass
    Then only box 1 is cut off
    When the links of box 1 work again
    And 800 ms of traffic pass
    Then box 1 has reported 2 cuts
    And each return of box 1 is reported after less than 1300 ms

  Scenario: Restarts and waves of crashes that leave a third of the targets cut no box off for long
    Then for 40 seeds of crashes and restarts no box is cut off for more than 1000 ms

  Scenario: A cut beside restarts and waves of crashes is noticed and ended
    Then for 40 seeds of crashes and restarts a box is cut off within 1500 ms of its cut and not 1500 ms after it

  Scenario: Boxes that reach the only target that is up say so
    When all targets are down
    And 3000 ms of traffic pass
    And target 3 answers again
    And 3000 ms of traffic pass
    Then every box says that it relays

  Scenario: A box that reaches the only target that is up is not cut off once another box has started
    When all targets are down
    And 3000 ms of traffic pass
    And target 3 answers again
    And box 2 is replaced by a new process
    And 5000 ms of traffic pass
    Then no box is cut off
