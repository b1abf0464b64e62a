Feature: A box reports an address on which it cannot listen and exits

  Scenario Outline: Another process listens on the <which> address
    Given a platform, and a process that listens on the <which> address of a box
    When the box starts
    Then it exits with code 69 and logs the unavailable address, not a broken invariant

    Examples:
      | which    |
      | peer     |
      | operator |
      | caller   |
