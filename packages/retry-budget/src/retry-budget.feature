Feature: Retries of all boxes together stay within one bound

  Scenario: Boxes that share a budget never send more than the bound together
    Given 7 boxes that share 54 retries and a fifth of their requests over 10 s
    When each box sees 20 requests a second for 30 s and retries as often as it may
    Then no window of 10 s has more than 54 retries and a fifth of its requests

  Scenario: A box without requests has only its part of the slack
    Given 7 boxes that share 54 retries and a fifth of their requests over 10 s
    Then one box may retry at most 7 times at once
