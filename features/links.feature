Feature: Links between daemons are kept as long as they are used

  Scenario Outline: An idle link is closed and opened again when needed
    Given two linked daemons that close links after 0.3 s without use
    When one link peer asks the other and waits <pause> s
    Then the link peers have <links> links
    And the next question over links is answered

    Examples:
      | pause | links |
      | 0     | 1     |
      | 1.5   | 0     |

  Scenario: A link with an open exchange is not idle
    Given two linked daemons that close links after 0.3 s without use
    When one link peer asks a question that takes 1.2 s
    Then the link answer arrives whole
