Feature: The documentation matches the program

  Scenario: The page of error codes lists every code with its remedy
    Then the docs page of error codes matches the registry

  Scenario Outline: Settings in the pages are valid
    Then the docs page <page> holds <count> valid settings

    Examples:
      | page           | count |
      | first-start.md | 2     |
      | teams.md       | 1     |

  Scenario: The examples of the API page run against real daemons
    Given running daemons for the docs
    When the docs examples of API.md are run in order
    Then all docs examples succeed

  Scenario Outline: Commands in the pages exist
    Then the docs page <page> names only commands that exist

    Examples:
      | page                    |
      | first-start.md          |
      | settings.md             |
      | teams.md                |
      | following-a-request.md  |
      | where.md                |

  Scenario Outline: Terms of the users' platform appear only in its adapter
    Then no module outside the adapter contains <word>

    Examples:
      | word               |
      | x-deadline-ms      |
      | x-expect-instance  |
      | x-not-executed     |
      | x-prompt-prefix    |
      | x-response-seal    |
      | x-token-usage      |
      | x-api-key          |
      | x-tenant           |
      | tenant             |
      | api_keys           |
      | x-weight-versions  |
      | /lots/             |
      | kv_capacity        |
      | store_revision     |
      | target_latency_ms  |
      | traffic_split      |
      | enforce_fencing    |
      | num_waiting        |
      | item_ttl_s         |
      | run_target_ms      |
      | target_groups      |
      | finalizers         |
