Feature: A box that may not listen says so and ends

  Scenario Outline: Another process has the <which> address
    Given a platform, and a process that listens on the <which> address of a box
    When the box starts
    Then it ends with exit code 69 and names the address, not a broken invariant

    Examples:
      | which    |
      | peer     |
      | operator |
      | caller   |
