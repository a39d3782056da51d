Feature: The platform's table service
  The client tells a committed write, a refused one and an unknown one apart.

  Scenario Outline: <name>
    Given a table with row "search/almaty-1" of weight 20 at version 1
    And the platform is <fault>
    When weight 30 is committed expecting version <expected>
    Then the client reports <report>
    And once the platform is well the weight is <weight>

    Examples:
      | name                        | fault         | expected | report          | weight |
      | the row is as expected      | well          | 1        | committed       | 30     |
      | another edit was first      | well          | 0        | a mismatch      | 20     |
      | nothing listens             | not listening | 1        | a failure, not sent | 20 |
      | it is down                  | down          | 1        | a failure, sent | 20     |
      | the answer is lost          | losing answers | 1       | a failure, sent | 30     |
      | it is slower than the limit | slow          | 1        | a failure, sent | 30     |

  Scenario: Only changes are read
    Given a table with row "search/almaty-1" of weight 20 at version 1
    When weight 30 is committed expecting version 1
    Then a reader at version 1 gets 1 row at version 2
    And a reader at version 2 gets 0 rows at version 2

  Scenario: Hosts that are removed are told
    Given a host list with "127.0.0.1:1" and "127.0.0.1:2"
    When "127.0.0.1:1" is removed
    Then a reader of the list from the start knows "127.0.0.1:2" only
    And a reader that knew both knows "127.0.0.1:2" only
