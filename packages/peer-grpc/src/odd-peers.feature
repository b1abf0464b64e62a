Feature: Odd addresses and messages of other boxes are failures of single calls

  # Guards against a box that ends since the list of boxes, or another box, tells an address that gRPC throws on.
  Scenario Outline: Calls to the address <address> fail, and the box runs on
    Then every call to the address <address> has failed as unreachable

    Examples:
      | address                 |
      | ""                      |
      | "\\r\\n:x"              |
      | "127.0.0.1:70000"       |
      | "127.0.0.1:-1"          |
      | "__proto__:1"           |

  # Guards against a box that ends since the records of crashes in another box's heartbeat are no such records.
  Scenario Outline: A heartbeat whose records of crashes are <text> is rejected
    Given a box that answers its peers
    When another writer sends it a heartbeat whose records of crashes are <text>
    Then that call has failed as an invalid argument

    Examples:
      | text                                                 |
      | {                                                    |
      | null                                                 |
      | 5                                                    |
      | {"of":5,"followed":1}                                |
      | {"of":"x","followed":1e400}                          |
      | {"of":"x","followed":1,"word":{"number":1}}          |
      | {"of":"x","followed":1,"word":{"number":1,"records":[null]}} |
      | deep nesting                                         |
