/** Decisions about calls: admission control, attempt tickets, backend server selection, retry budgets, account limits. */
export * from './createAccountLimiter/index.js'
export * from './createAdmission/index.js'
export * from './createBackendHealth/index.js'
export * from './createBackendLoads/index.js'
export * from './createFairQueue/index.js'
export * from './createRetryBudget/index.js'
export * from './createTickets/index.js'
export * from './pickBackend/index.js'
