Feature: API keys identify client accounts

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

  Scenario: Fingerprints do not reveal keys
    Then no fingerprint of 200 random keys contains 3 consecutive characters of its key
