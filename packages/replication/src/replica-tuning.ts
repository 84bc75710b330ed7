/** Tuning of replicas that must recover from a loss within a given time. */
import type { ReplicaTuning } from './replica-settings.ts'

const ELECTION_TIMEOUT_MILLISECONDS = 600
const FIRST_ELECTION_MILLISECONDS = 300
const HEARTBEAT_MILLISECONDS = 150
const PROPOSAL_TIMEOUT_MILLISECONDS = 2_500
/** The rest of the time is left for electing a new leader, whose measure of silence begins anew, and for changing the set. */
const RETIRE_SHARE = 0.5
/** A member that a single lost heartbeat or a short pause kept silent is not removed. */
const SHORTEST_RETIRE_MILLISECONDS = 2 * ELECTION_TIMEOUT_MILLISECONDS

/**
 * Creates the tuning of replicas that must bear the next loss `catchUpMilliseconds` after a lost replica returned or was
 * replaced: until then a replica that is gone for good has lost its vote.
 */
export function createRecoveryTuning (catchUpMilliseconds: number): Partial<ReplicaTuning> {
  return {
    electionTimeoutMilliseconds: ELECTION_TIMEOUT_MILLISECONDS,
    firstElectionMilliseconds: FIRST_ELECTION_MILLISECONDS,
    heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
    proposalTimeoutMilliseconds: PROPOSAL_TIMEOUT_MILLISECONDS,
    retireMilliseconds: Math.max(catchUpMilliseconds * RETIRE_SHARE, SHORTEST_RETIRE_MILLISECONDS)
  }
}
