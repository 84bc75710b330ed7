/** Bundles the platform's programs under `target/`. */
import { bundlePrograms } from './bundle.ts'

await bundlePrograms('target', [
  { name: 'hickoryspoke-front.js', source: 'platform/src/front-main.ts' },
  { name: 'hickoryspoke-core.js', source: 'platform/src/core-main.ts' }
])
