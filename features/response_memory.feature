Feature: What servers send is bounded in memory and in time, for a whole process

  Scenario Outline: At the limit, the source with the most bytes loses its largest holder
    Given a memory for responses of 100 bytes
    When these hold bytes, one after another: <holders>
    Then these are dropped, in this order: <dropped>
    And <used> bytes are in use

    Examples:
      | holders                           | dropped | used |
      | a1=60 b1=40                       | -       | 100  |
      | a1=60 b1=41                       | a1      | 41   |
      | a1=20 a2=30 b1=40 c1=20           | a2      | 80   |
      | a1=101                            | a1      | 0    |
      | a1=30 b1=40 a1=10 c1=50           | -       | 100  |
      | a1=30 b1=40 a1=10 c1=51           | c1      | 50   |
      | a1=31 a2=30 b1=50                 | a1      | 80   |
      | ready=60 a1=50                    | -       | 110  |
      | ready=60 a1=51                    | a1      | 60   |
      | ready=30 a1=71                    | a1      | 30   |
      | ready=200 a1=50                   | -       | 250  |
      | ready=200 a1=30 b1=21             | a1      | 221  |
      | a1=90 ready=20 b1=1               | a1      | 21   |

  Scenario: What a deleted holder had counts no longer
    Given a memory for responses of 100 bytes
    When a response that is ready holds 90 bytes and is deleted
    Then 0 bytes are in use

  Scenario Outline: A server's small pieces are parsed at a bounded rate
    Given a parser budget of 1000 pieces a second
    When a server's responses bring <pieces> pieces at once, beside another server's 10
    Then nothing of that server is parsed for <wait> s, nor anything of the other for 0 s

    Examples:
      | pieces | wait |
      | 1      | 0    |
      | 50000  | 0    |
      | 51000  | 1    |
      | 60000  | 10   |

  Scenario: A server's connections take turns while its budget is used up
    Given a parser budget of 1000 pieces a second
    When 3 of a server's connections have 500 pieces each, after 50500 pieces at once
    Then they are parsed in this order, 0.5 s apart: 0 1 2

  Scenario: An output of events without text ends as one that is too long
    When an item gets 65536 events without text, and one more
    Then the last one is refused as too much output
