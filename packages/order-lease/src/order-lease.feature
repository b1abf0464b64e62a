Feature: At most one box may send orders at a time, under a growing epoch

  Background:
    Given boxes "a b c" that are connected to each other and to the store

  Scenario: One of several boxes that start together acquires the lease
    When 2 s go by
    Then exactly one box may send orders

  Scenario: A box that starts later does not take the lease
    Given "a" holds the lease
    When box "d" starts and is notified of the claim while it reads
    And 5 s go by
    Then only "a" may send orders
    And the epoch is unchanged

  Scenario: After the holder falls silent, another box acquires the lease once it has expired
    Given "a" holds the lease
    When "a" falls silent
    Then no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch

  Scenario: A holder that can't reach the store loses the lease although it is still connected to the others
    Given "a" holds the lease
    When the store refuses "a"
    Then within 8 s another box may give orders under a higher epoch
    And "a" may not send orders

  Scenario: The holder keeps the lease while the store is unavailable to all boxes
    Given "a" holds the lease
    When the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And 20 s go by
    Then only "a" may send orders

  Scenario: A holder notified of a newer claim stops at once
    Given "a" holds the lease
    When "a" is notified of a newer claim of "b"
    Then "a" may not send orders

  Scenario: A rejected order ends the epoch, and a new claim has a higher one
    Given "a" holds the lease
    When an engine rejects the epoch of "a"
    Then "a" may not send orders
    And within 8 s a box may give orders under a higher epoch

  Scenario: A holder that was suspended sends no orders before it has proven its lease again
    Guards against two boxes sending orders at once, as the steady clock stops while a machine is suspended.
    Given "a" holds the lease
    When "a" wakes after a suspension of 5000 ms
    Then "a" may not send orders
    And within 1 s "a" has proven its lease and may send orders

  Scenario: A leaving box releases the lease
    Given "a" holds the lease
    When "a" starts to leave
    Then within 2 s another box may give orders under a higher epoch

  # Guards against boxes that wait by their rank a second time when a read shows that the leaving holder has released the lease.
  Scenario: A released lease is claimed after one wait by rank
    Given "a" holds the lease
    When "a" says that it leaves, and has not begun to release the lease
    And "a" starts to leave
    Then within 1000 ms another box may give orders under a higher epoch

  Scenario: A claim whose response is lost is found by reading the stream
    When the store loses the responses to "a"
    And the store loses the responses to "b"
    And the store loses the responses to "c"
    And 5 s go by
    And the store serves "a"
    And the store serves "b"
    And the store serves "c"
    And 8 s go by
    Then exactly one box may send orders

  Scenario: A restarted holder acquires the lease again at once
    Guards against waiting for the timeout of a holder that was an earlier incarnation of the same box.

    Given "a" holds the lease
    When "a" restarts
    Then within 1 s its new incarnation may send orders under a higher epoch

  Scenario: A restarted holder that can't reach the store is replaced like a silent one
    Given "a" holds the lease
    When "a" restarts and is refused by the store
    Then within 8 s another box may give orders under a higher epoch

  Scenario: A restarted holder does not take the lease from a box that acquired it meanwhile
    Given "a" holds the lease
    When "a" falls silent
    Then within 8 s another box may give orders under a higher epoch
    When "a" restarts
    And 5 s go by
    Then only "b" may send orders

  Scenario: No two boxes may send orders at once and epochs grow, with random outages, recoveries and restarts
    Then for 30 seeds with restarts no two boxes may send orders at once

  Scenario: No two boxes may send orders at once and epochs grow, with random outages, silences and recoveries
    Then for 30 seeds no two boxes may send orders at once

  # Guards against an epoch without a claim, and against giving its offset to another box.
  Scenario: A claim that the store has lost is made again under a higher epoch
    Given "a" holds the lease
    When the store comes back from a copy without the newest claim
    Then within 8 s a box has claimed under a higher epoch
    And the store has a claim again

  Scenario: No two boxes may send orders at once or under one epoch, with a store that goes back
    Then for 40 seeds with a store that goes back no two boxes may send orders at once or under one epoch

  Scenario: A holder that reaches no engine while another box does releases the lease and does not claim it again
    Given "a" holds the lease
    When "a" reaches no engine
    Then within 2 s another box may give orders under a higher epoch
    And "a" may not send orders
    When 5 s go by
    Then exactly one box may send orders
    And "a" may not send orders

  Scenario: A holder that is cut off from the engines and can't reach the store either is replaced
    Given "a" holds the lease
    When "a" reaches no engine
    And the store refuses "a"
    Then within 8 s another box may give orders under a higher epoch
    When "a" reaches engines again
    And the store serves "a"
    And 5 s go by
    Then exactly one box may send orders
    And "a" may not send orders

  Scenario: The holder keeps the lease while no box reaches an engine
    Given "a" holds the lease
    When "c" reaches no engine
    And "b" reaches no engine
    And "a" reaches no engine
    And 5 s go by
    Then only "a" may send orders
    And the epoch is unchanged

  Scenario: No two boxes may send orders at once and epochs grow, with boxes that are cut off from the engines
    Then for 40 seeds with boxes that are cut off no two boxes may send orders at once

  # Guards against a claim by a box that doesn't hear the holder because it is late or cut off itself.
  Scenario Outline: A box that hears no other box does not take the lease from a holder that reaches the store, <engines>
    Given boxes "a b c" that are connected to each other and to the store<engines>
    And "a" holds the lease
    When "b" hears no other box
    And 12 s go by
    Then only "a" may send orders
    And the epoch is unchanged

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against two boxes that take the lease from each other, as each finds the other one silent.
  Scenario: A box that lost the lease does not take it back at once
    Given boxes "a b c" that are connected to each other and to the store, with engines that fence
    And "a" holds the lease
    When "a" falls silent
    Then within 8 s another box may give orders under a higher epoch
    When the store serves "a"
    And "a" hears no other box
    And 8 s go by
    Then only "b" may send orders

  # Guards against a holder that receives no demand and keeps the lease.
  Scenario Outline: A holder that is cut off from the other boxes hands the lease over and does not take it back, <engines>
    Given boxes "a b c" that are connected to each other and to the store<engines>
    And "a" holds the lease
    When "a" is cut off from the other boxes
    Then within 4 s another box may give orders under a higher epoch
    And "a" may not send orders
    When 8 s go by
    Then exactly one box may send orders
    And "a" may not send orders
    When "a" is connected to the other boxes again
    And 8 s go by
    Then exactly one box may send orders
    And "a" may not send orders

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against a former holder that orders until it has read the new claim.
  Scenario: A holder whose reads get no response stops before another box may send orders, though engines fence
    Given boxes "a b c" that are connected to each other and to the store, with engines that fence
    And "a" holds the lease
    When "b" is cut off from the other boxes
    And 1 s go by
    And the store loses the responses to "a"
    Then no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch

  Scenario Outline: Boxes do not take turns at sending orders, with boxes that hear no others and reach the store<engines>
    Then for 40 seeds with boxes that hear no others no two boxes take turns at sending orders<engines>

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against a former holder that sends orders until it has read the new claim, as engines reject them anyway.
  Scenario: No two boxes may send orders at once, with engines that fence and all disturbances
    Then for 40 seeds with engines that fence and all disturbances no two boxes may send orders at once

  # Guards against orders under an expired lease that another box has claimed out of sight.
  Scenario: A holder whose lease has expired does not send orders again when no box that it hears reaches the store
    Given boxes "a b c d" that are connected to each other and to the store
    And "a" holds the lease
    When "a" is cut off from the other boxes
    And "d" is cut off from the other boxes
    And the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    Then within 12 s another box may give orders under a higher epoch
    When "a" is connected to the other boxes again
    And 1 s go by
    Then only "d" may send orders

  Scenario: A box that reads of a new holder does not take it for silent at once
    Given "a" holds the lease
    When "c" is cut off from the other boxes
    And "a" falls silent
    Then within 8 s another box may give orders under a higher epoch
    And the store has no probe of that holder

  # Guards against two boxes that send orders at once, as one of them can't hear that the other one reaches the store.
  Scenario: A holder does not keep the lease in an outage of the store that a box out of sight does not share
    Given boxes "a b c d" that are connected to each other and to the store
    And "a" holds the lease
    When "d" is cut off from the other boxes
    And the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And 8 s go by
    Then only "d" may send orders

  # Guards against a probe, and a claim, for a reason that concerned the former holder.
  Scenario: A box that learns of a new holder while it asks the former one does not ask the new one
    Given boxes "a b c d" that are connected to each other and to the store
    And "a" holds the lease
    When "a" falls silent
    Then within 8 s another box may give orders under a higher epoch
    When 2 s go by
    Then no box has probed the new holder

  # Guards against a lease that is handed round among boxes that each release it to better connected ones.
  Scenario Outline: A holder on the smaller side of a cut hands the lease over to the larger side once<engines>
    Then for 20 seeds a holder on the smaller side of a cut hands the lease over once<engines>

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against two boxes that send orders at once during a change of versions.
  Scenario: A holder of a version that does not answer probes stops before another box may send orders
    Given boxes "a b c" of which "a" has a version that does not answer probes
    And "a" holds the lease
    When "b" is cut off from the other boxes
    And 4.8 s go by
    And the store loses the responses to "a"
    Then no other box may send orders before the lease of "a" has expired

  # Guards against a box of an earlier version that takes the lease from a holder that lives, as proofs are valid for a shorter time than there.
  Scenario: Boxes of an earlier version do not find that a holder with engines that fence has lost the store
    Given boxes "a b c" that are connected to each other and to the store, with engines that fence
    And "a" holds the lease
    Then for 20 s boxes of an earlier version find that "a" reaches the store
    When the store refuses "a"
    Then within 4 s boxes of an earlier version find that "a" has lost the store

  # Guards against two boxes that send orders at once during a change of versions.
  Scenario Outline: Boxes of an earlier version do not order while the former holder may<engines>
    Given boxes "a b c" that are connected to each other and to the store<engines>
    And "a" holds the lease
    When the store refuses "a"
    Then for 4 s boxes of an earlier version wait until "a" may not send orders

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against proofs that expire before the next one is answered.
  Scenario Outline: A slow store leaves the holder its lease<engines>
    Given boxes "a b c" whose store answers after 900 ms<engines>
    When 8 s go by
    Then in 30 s some box may send orders for at least 27 s

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against reads that overlap although the store is well; each read is priced.
  Scenario Outline: A store that answers promptly gets no overlapping reads, <ms> ms<engines>
    Given boxes "a b c" whose store answers after <ms> ms<engines>
    When 8 s go by
    Then in 60 s the boxes read the store at most <reads> times

    Examples:
      | ms  | reads | engines                   |
      | 2   | 100   |                           |
      | 2   | 100   | , with engines that fence |
      | 50  | 103   |                           |
      | 50  | 103   | , with engines that fence |
      | 150 | 100   |                           |
      | 150 | 100   | , with engines that fence |
      | 300 | 100   |                           |
      | 300 | 100   | , with engines that fence |

  # Guards against a read at each check while a probe waits for its answer; each read is priced.
  Scenario: Boxes read the store once at most until a probe of the holder may be followed by a claim
    Given boxes "a b c" that are connected to each other and to the store, with engines that fence
    And "a" holds the lease
    When "a" ends, and another box has probed it
    Then in 1 s the boxes read the store at most 1 times

  # Guards against proofs that count from the answer, as a claimant waits from its probe.
  Scenario Outline: A holder whose reads are answered late stops before another box may send orders, <ms> ms<engines>
    Given boxes "a b c" that are connected to each other and to the store<engines>
    And "a" holds the lease
    When "a" is cut off from the other boxes
    And the store's answers reach "a" <ms> ms late
    Then in 12 s another box may send orders, and never two at once

    Examples:
      | ms   | engines                   |
      | 2800 |                           |
      | 4400 |                           |
      | 1400 | , with engines that fence |
      | 2400 | , with engines that fence |

  # Guards against proofs by reads that show a probe; the probe's sender does not wait for them.
  Scenario Outline: A holder whose answer to a probe is late stops before another box may send orders<engines>
    Given boxes "a b c" that are connected to each other and to the store<engines>
    And "a" holds the lease
    When "b" is cut off from the other boxes
    And "c" is cut off from the other boxes
    And the appends of "a" reach the store 5000 ms late
    Then in 12 s another box may send orders, and never two at once

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against proofs by answers that overtake each other.
  Scenario Outline: No two boxes may send orders at once, with a slow store<engines>
    Then for 40 seeds with a slow store and all disturbances no two boxes may send orders at once<engines>

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  Scenario Outline: Boxes do not take turns at sending orders, with a slow store<engines>
    Then for 40 seeds with a slow store and boxes that hear no others no two boxes take turns at sending orders<engines>

    Examples:
      | engines                   |
      |                           |
      | , with engines that fence |

  # Guards against a claim by a box that sends no orders any more.
  Scenario: A box that begins to stop while it reads does not claim the lease
    When the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And box "d" starts and begins to stop while it reads
    And 5 s go by
    Then the store has no claim of "d"

  # Guards against two boxes that send orders at once while a change of the settings reaches one box after the other.
  Scenario Outline: A box with <setting> waits for the proofs of a holder that has other settings
    Given boxes "a b c" of which "b" has <setting>
    And "a" holds the lease
    When "b" is cut off from the other boxes
    And 1.6 s go by
    And the store loses the responses to "a"
    Then no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch

    Examples:
      | setting                 |
      | a lease time of 1000 ms |
      | engines that fence      |

  # Guards against two boxes that send orders at once, as one of them keeps its lease for what the other one said long before.
  Scenario: A holder does not keep the lease in an outage of the store by what a box said before it was cut off
    Given boxes "a b c d" that are connected to each other and to the store
    And "a" holds the lease
    When "d" hears no other box
    And the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And the store refuses "d"
    And 8 s go by
    Then only "a" may send orders
    When "d" is not heard any more either
    And the store serves "d"
    Then no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch

  # Guards against a claim after a wait in which the holder could not read the probe and kept the lease, as no box reached the store.
  Scenario: A box whose probe is from before an outage of the store waits again after it
    Given boxes "a b c d" that are connected to each other and to the store
    And "a" holds the lease
    When "d" hears no other box
    And the store refuses every box as soon as it has a probe
    And 8 s go by
    Then only "a" may send orders
    When "d" is not heard any more either
    And the store serves "d"
    Then no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch

  # Guards against two boxes that send orders at once, as one of them said that it may send none before it claimed.
  Scenario: A box that said that it leaves before it claimed is not replaced before its lease has expired
    Given boxes "a b c" that are connected to each other and to the store
    When the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And "a" says that it leaves, and has not begun to release the lease
    And 2 s go by
    And "a" is not heard any more either
    And the store serves "a"
    And 0.5 s go by
    And the store loses the responses to "a"
    And the store serves "b"
    And the store serves "c"
    Then only "a" may send orders
    And no other box may send orders before the lease of "a" has expired
    And within 8 s another box may give orders under a higher epoch
