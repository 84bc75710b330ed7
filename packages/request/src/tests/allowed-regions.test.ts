import type { ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { allowedRegionsOf } from '../allowed-regions.ts'

const combine = (ofRoute?: string[], ofCustomer?: string[]): readonly string[] | undefined => allowedRegionsOf(
  (ofRoute === undefined ? {} : { allowedRegions: ofRoute }) as ServingRoute,
  (ofCustomer === undefined ? {} : { allowedRegions: ofCustomer }) as ServingCustomer
)

test('the restrictions of route and customer both apply', () => {
  assert.is(combine(), undefined)
  assert.equal(combine(['north']), ['north'])
  assert.equal(combine(undefined, ['south']), ['south'])
  assert.equal(combine(['north', 'east'], ['east', 'south']), ['east'])
  assert.equal(combine(['north'], ['south']), [])
})

test('without a customer, that of the route applies', () => {
  assert.equal(allowedRegionsOf({ allowedRegions: ['north'] } as unknown as ServingRoute, undefined), ['north'])
})

test.run()
