Feature: A lease expires for its holder before a competing box may claim it

  Scenario: The holder stops first for any delays
    Then for any delays of sending and reading, the lease has not expired for a competing box while it is valid for the holder

  Scenario: A competing box waits for the full lease time after reading the lease
    Given a lease of 1000 ms that a competing box has read at 500 ms
    Then it has not expired for the competing box at 1500 ms and has at 1701 ms with a margin of 200 ms
