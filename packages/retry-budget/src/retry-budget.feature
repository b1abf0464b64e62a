Feature: Retries of all boxes together stay within one limit

  Scenario: Boxes that share a budget never exceed the limit together
    Given 7 boxes that share 54 retries plus a fifth of their requests per 10 s
    When each box gets 20 requests per second for 30 s and uses its whole budget
    Then no window of 10 s has more than 54 retries plus a fifth of its requests

  Scenario: A box without requests has only its share of the base retries
    Given 7 boxes that share 54 retries plus a fifth of their requests per 10 s
    Then one box gets at most 7 retries at once
