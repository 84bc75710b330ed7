/** A deployment that asks for no optional decision must be served as before. */
import type { ServingConfiguration, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { combinePolicies, DEFAULT_DISPATCH_POLICY, policyOf, withoutExpectedCost } from '../dispatch-policy.ts'

const ROUTE: ServingRoute = {
  name: 'upload',
  host: 'a.example',
  prefix: '/',
  mayRepeat: false,
  timeoutMilliseconds: 1_000,
  targetMilliseconds: 500,
  priority: 0,
  shares: [{ pool: 'p', weight: 1 }],
  maximumAttempts: 1,
  open: false
}

function configurationWith (routes: ServingRoute[]): ServingConfiguration {
  const bounds = { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }
  return { number: 1, keyed: false, bounds, pools: [], customers: [], routes }
}

test('a configuration without large bodies asks for no optional decision', () => {
  assert.equal(policyOf(configurationWith([ROUTE])), DEFAULT_DISPATCH_POLICY)
})

test('a route with large bodies asks for placement by expected cost, and not for fair admission', () => {
  assert.equal(policyOf(configurationWith([ROUTE, { ...ROUTE, prefix: '/b/', hasLargeBodies: true }])), { expectedCost: true, fairAdmission: false, reuseConnections: false })
})

test('what either the settings or the configuration ask for is done', () => {
  const settings = { expectedCost: false, fairAdmission: true, reuseConnections: true }
  assert.equal(combinePolicies(settings, { expectedCost: true, fairAdmission: false, reuseConnections: false }), { ...settings, expectedCost: true })
  assert.equal(combinePolicies(settings, DEFAULT_DISPATCH_POLICY), settings)
})

test('without expected cost, the other decisions are made as before', () => {
  const policy = { expectedCost: true, fairAdmission: true, reuseConnections: true }
  assert.equal(withoutExpectedCost(policy), { ...policy, expectedCost: false })
  assert.is(withoutExpectedCost(DEFAULT_DISPATCH_POLICY), DEFAULT_DISPATCH_POLICY)
})

test.run()
