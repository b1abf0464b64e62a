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
