Feature: A cell agrees on its members and who keeps which endpoint

  Scenario Outline: A cell of <count> members forms
    Given a cell of <count> members with 6 endpoints
    When the cell is ready
    Then the cell has exactly one lead
    And each endpoint of the cell has a live keeper
    And no member keeps more than <most> endpoints
    And each shard has an owner and <backups>

    Examples:
      | count | most | backups                     |
      | 1     | 6    | no backup                   |
      | 3     | 2    | a backup in another zone    |
      | 6     | 1    | a backup in another zone    |
