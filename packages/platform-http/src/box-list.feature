Feature: Odd entries of the list of boxes hide no others

  # Guards against a box that follows the list no longer while one of its entries is odd.
  Scenario Outline: The list is read beside the entry <entry>
    Given a list of the boxes "b1 b2" and the leaving target "e1"
    When its boxes and its leaving targets contain <entry> as well
    Then the boxes "b1 b2" and the leaving target "e1" are read, and <count> entries are reported

    Examples:
      | entry                                                   | count |
      | null                                                    | 2     |
      | {}                                                      | 2     |
      | {"box":"b3","peerAddress":"127.0.0.1:1","state":"gone"} | 2     |
      | {"box":"b3","peerAddress":1e400,"state":"live"}         | 2     |
      | deep nesting                                            | 2     |
