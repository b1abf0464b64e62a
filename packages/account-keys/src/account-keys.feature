Feature: A key belongs to one client account

  Scenario Outline: <key> belongs to <account>
    Given client accounts "a" with keys "k1 k2" and "b" with keys "k3 k1"
    Then the key "<key>" belongs to "<account>"

    Examples:
      | key | account |
      | k1  | a       |
      | k2  | a       |
      | k3  | b       |
      | K1  | nobody  |
      | k   | nobody  |
      |     | nobody  |

  Scenario: Keys are not told by their fingerprints
    Then no fingerprint of 200 random keys holds 3 characters of its key in a row
