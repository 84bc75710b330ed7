/** Decisions of the dispatcher and of entries that a deployment asks for by its settings or its configuration. */
import type { ServingConfiguration } from '@hickoryspoke/configuration/serving-configuration'

/** Which of these decisions are made. */
export interface DispatchPolicy {
  /** Upstreams are chosen by the expected cost of the request and by the work that is left at each. */
  readonly expectedCost: boolean
  /** Customers share scarce room, and refused callers are told to return at different times. */
  readonly fairAdmission: boolean
  /** Entries send requests that may be repeated on connections that upstreams keep open. */
  readonly reuseConnections: boolean
}

/** Returns the policy in force, which may change with the configuration. */
export type PolicySource = () => DispatchPolicy

/** The policy of a deployment that asks for nothing. */
export const DEFAULT_DISPATCH_POLICY: DispatchPolicy = { expectedCost: false, fairAdmission: false, reuseConnections: false }

/** The policy of a deployment without settings for it. */
export const defaultPolicy: PolicySource = () => DEFAULT_DISPATCH_POLICY

/** What a configuration asks for. Bodies of very different size make requests of one route cost differently. */
export function policyOf ({ routes }: ServingConfiguration): DispatchPolicy {
  return { ...DEFAULT_DISPATCH_POLICY, expectedCost: routes.some((route) => route.hasLargeBodies === true) }
}

/** The policy of a deployment whose settings and configuration ask for these. */
export function combinePolicies (first: DispatchPolicy, second: DispatchPolicy): DispatchPolicy {
  return {
    expectedCost: first.expectedCost || second.expectedCost,
    fairAdmission: first.fairAdmission || second.fairAdmission,
    reuseConnections: first.reuseConnections || second.reuseConnections
  }
}

/** The policy while processor time is short: the plain choice of an upstream costs less of it. */
export function withoutExpectedCost (policy: DispatchPolicy): DispatchPolicy {
  return policy.expectedCost ? { ...policy, expectedCost: false } : policy
}
