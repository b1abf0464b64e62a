Feature: A lease ends for its holder before a rival may claim it

  Scenario: The holder stops first, whatever the delays
    Then for any delays of sending and reading, no rival finds the lease lapsed while the holder may act

  Scenario: A rival that has only just read of a lease waits its whole length
    Given a lease of 1000 ms that a rival has read at 500 ms
    Then it has not lapsed for the rival at 1500 ms and has at 1701 ms with a margin of 200 ms
