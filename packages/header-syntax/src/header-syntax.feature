Feature: Header lines that cannot be written are found before they are written

  # Guards against lines that Node's parser accepts and its writer throws for.
  Scenario Outline: A line with <line> is <verdict>
    Then a header line with <line> is <verdict>

    Examples:
      | line                          | verdict    |
      | a plain name and value        | writable   |
      | an empty value                | writable   |
      | a tab in its value            | writable   |
      | bytes from 128 on in its value | writable   |
      | an empty name                 | unwritable |
      | a blank in its name           | unwritable |
      | a blank before its colon      | unwritable |
      | a line end in its value       | unwritable |
      | a control byte in its value   | unwritable |

  # Guards against a head that is taken to end where a parser that follows its lines finds no empty line, or another one before.
  Scenario Outline: The end of a head <kind> is <found>
    Then the end of a head <kind> is <found>

    Examples:
      | kind                                        | found     |
      | that is whole                               | found     |
      | with a body behind it                       | found     |
      | with a lone carriage return inside a line   | found     |
      | that lacks its last byte                    | not found |
      | that ends at a lone carriage return         | not found |
      | that ends at a line feed alone              | not found |
      | that begins with an empty line              | not found |
      | that ends behind the bytes that may be read | not found |
