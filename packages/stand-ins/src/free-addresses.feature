Feature: Processes of a deployment are given addresses that stay free until they listen

  Scenario: No outgoing connection can take an address between the look and the start
    When 200 addresses are taken twice
    Then no two are alike, and the system gives none of their ports to outgoing connections
