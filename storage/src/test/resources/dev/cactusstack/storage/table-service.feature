Feature: The platform's table service
  The client distinguishes committed, rejected and unknown writes.

  Scenario Outline: <name>
    Given a table with row "search/almaty-1" of weight 20 at version 1
    And the platform is <fault>
    When weight 30 is committed expecting version <expected>
    Then the client reports <report>
    And once the platform is healthy the weight is <weight>

    Examples:
      | name                        | fault         | expected | report          | weight |
      | the row is as expected      | healthy       | 1        | committed       | 30     |
      | another edit came first     | healthy       | 0        | a version mismatch | 20     |
      | the port is closed          | not listening | 1        | a failure, not sent | 20 |
      | it is down                  | down          | 1        | a failure, sent | 20     |
      | the answer is lost          | losing answers | 1       | a failure, sent | 30     |
      | it exceeds the timeout      | slow          | 1        | a failure, sent | 30     |

  Scenario: Only changes are read
    Given a table with row "search/almaty-1" of weight 20 at version 1
    When weight 30 is committed expecting version 1
    Then a reader at version 1 gets 1 row at version 2
    And a reader at version 2 gets 0 rows at version 2

  Scenario: Removed hosts are reported
    Given a host list with "127.0.0.1:1" and "127.0.0.1:2"
    When "127.0.0.1:1" is removed
    Then a client reading the list from the start has only "127.0.0.1:2"
    And a client that had both now has only "127.0.0.1:2"
