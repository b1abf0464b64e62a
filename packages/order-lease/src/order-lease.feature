Feature: One box at a time may give orders, under an epoch that only rises

  Background:
    Given boxes "a b c" that hear each other and reach the store

  Scenario: Of boxes that start together one gets the lease
    When 2 s go by
    Then exactly one box may give orders

  Scenario: A box that starts later leaves the lease where it is
    Given "a" holds the lease
    When box "d" starts and hears of the claim while it reads
    And 5 s go by
    Then "a" may give orders and nobody else
    And the epoch is as before

  Scenario: The lease passes on when its holder falls silent, after its time
    Given "a" holds the lease
    When "a" falls silent
    Then no other box gives orders before the lease of "a" has run out
    And within 8 s another box may give orders under a higher epoch

  Scenario: A holder that the store refuses loses the lease though the others hear it
    Given "a" holds the lease
    When the store refuses "a"
    Then within 8 s another box may give orders under a higher epoch
    And "a" may give no orders

  Scenario: While the store is away for all, the holder goes on
    Given "a" holds the lease
    When the store refuses "a"
    And the store refuses "b"
    And the store refuses "c"
    And 20 s go by
    Then "a" may give orders and nobody else

  Scenario: A holder that hears of a newer claim stops at once
    Given "a" holds the lease
    When "a" hears of a newer claim of "b"
    Then "a" may give no orders

  Scenario: An engine's refusal ends the tenure, and a new claim has a higher epoch
    Given "a" holds the lease
    When an engine refuses the epoch of "a"
    Then "a" may give no orders
    And within 8 s a box may give orders under a higher epoch

  Scenario: A holder that was suspended gives no orders before it has proven its lease anew
    Two boxes gave orders at once. The holder's machine slept for longer than its lease, and the steady clock does not count that
    time: its lease had as much left as before, while another box had waited for it to run out, and claimed it.
    Given "a" holds the lease
    When "a" wakes after a suspension of 5000 ms
    Then "a" may give no orders
    And within 1 s "a" has proven its lease and may give orders

  Scenario: A box that leaves hands the lease on
    Given "a" holds the lease
    When "a" leaves
    Then within 2 s another box may give orders under a higher epoch

  Scenario: A claim whose answer is lost is found by reading
    When the store loses the answers to "a"
    And the store loses the answers to "b"
    And the store loses the answers to "c"
    And 5 s go by
    And the store serves "a"
    And the store serves "b"
    And the store serves "c"
    And 8 s go by
    Then exactly one box may give orders

  Scenario: A holder that begins a new life holds the lease again at once
    All boxes lost power. They were ready 0.1 s after their starts, and the box that had held the lease took it 1.8 s later
    ("leaseTaken" at 37.84 s, "boxReady" at 36.14 s), with its first order 0.94 s after that: it had waited for the silence of a
    holder that was itself, in a life that had ended.

    Given "a" holds the lease
    When "a" begins a new life
    Then within 1 s its new life may give orders under a higher epoch

  Scenario: A holder whose new life cannot reach the store is replaced like a silent one
    Given "a" holds the lease
    When "a" begins a new life, which the store refuses
    Then within 8 s another box may give orders under a higher epoch

  Scenario: A new life does not take the lease from a box that took it meanwhile
    Given "a" holds the lease
    When "a" falls silent
    Then within 8 s another box may give orders under a higher epoch
    When "a" begins a new life
    And 5 s go by
    Then "b" may give orders and nobody else

  Scenario: Through random cuts, returns and new lives no two boxes give orders at once and epochs rise
    Then for 30 seeds with new lives no two boxes may give orders at once

  Scenario: Through random cuts, silences and returns no two boxes give orders at once and epochs rise
    Then for 30 seeds no two boxes may give orders at once
