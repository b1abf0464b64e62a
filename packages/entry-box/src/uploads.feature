Feature: The chunks of a request's body take memory and time by their bytes

  # Guards against a buffer for each chunk, which exhausts the heap, and against long reads that hold up all other callers.
  Scenario Outline: Bodies in chunks of <chunk> bytes leave room for other callers
    Given a front that answers with the size of each body
    When 6 callers send <size> bytes each in chunks of <chunk> bytes, and do not end them yet
    Then the heap has grown by at most 40000000 bytes
    And a caller beside them got each of its responses within 500 ms
    When the 6 callers end their bodies
    Then each of them gets the size <size>

    Examples:
      | size    | chunk |
      | 1000000 | 10    |
      | 250000  | 1     |
      | 4000000 | 64    |
