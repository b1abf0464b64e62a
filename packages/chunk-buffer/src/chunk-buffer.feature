Feature: The chunks of a body take memory and time by their bytes

  Scenario: Any division of a body into chunks gives the same bytes
    Then any division of 300000 bytes into chunks is collected without a change

  # Guards against a buffer for each chunk, whose overhead exhausts the heap.
  Scenario: Chunks of one byte take little of the heap
    When 4000000 chunks of one byte are collected
    Then the heap has grown by at most 20000000 bytes, and all memory by at most 26000000 bytes

  Scenario: An empty buffer has no bytes
    Then a buffer has no bytes at first, after it was taken, and after it was cleared
