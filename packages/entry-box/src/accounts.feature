Feature: Which box hands out an account's limit, and what a box may do alone

  Scenario: Strong boxes hand out, alike in the view of all that know the same boxes
    Given boxes of capacity "4 4 4 1 1" of which the first is leaving
    Then 50 accounts are handed out by strong boxes that are not leaving
    And each of those hands out for 10 accounts or more
    And a box that goes moves only its own accounts

  Scenario Outline: A box of <own> beside <others>, with <most> known in all, is <part> of all
    Then a box of <own> beside boxes of "<others>" with <most> known in all is <part> of all

    Examples:
      | own | others | most | part |
      | 1   | 1 1 1  | 4    | 0.25 |
      | 2   | 1 1    | 3    | 0.5  |
      | 1   |        | 4    | 0.25 |
      | 1   |        | 1    | 1    |

  Scenario: Accounts beyond the first ones share a series
    Then of accounts "a b c a d b" the labels for 2 series are "a b other a other b"
